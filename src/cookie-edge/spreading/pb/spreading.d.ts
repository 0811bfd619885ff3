import * as $protobuf from "protobufjs";
import Long = require("long");

/** Namespace sailquay. */
export namespace sailquay {

    /** Namespace spreading. */
    namespace spreading {

        /** MessageType enum. */
        enum MessageType {

            /** UNKNOWN_TYPE value */
            UNKNOWN_TYPE = 0,

            /** NEWS value */
            NEWS = 1,

            /** PULL value */
            PULL = 2,

            /** STATE value */
            STATE = 3
        }

        /** Topic enum. */
        enum Topic {

            /** UNKNOWN_TOPIC value */
            UNKNOWN_TOPIC = 0,

            /** ROUTES value */
            ROUTES = 1,

            /** BACKENDS value */
            BACKENDS = 2,

            /** CORDONS value */
            CORDONS = 3
        }

        /**
         * Properties of a Peer.
         * @deprecated Use sailquay.spreading.Peer.$Properties instead.
         */
        interface IPeer extends sailquay.spreading.Peer.$Properties {
        }

        /** Represents a Peer. */
        class Peer {

            /**
             * Constructs a new Peer.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.spreading.Peer.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** Peer address. */
            address: number;

            /** Peer port. */
            port: number;

            /** Peer zone. */
            zone: string;

            /** Peer ageMs. */
            ageMs: number;

            /**
             * Encodes the specified Peer message. Does not implicitly {@link sailquay.spreading.Peer.verify|verify} messages.
             * @param message Peer message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.spreading.Peer.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a Peer message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.spreading.Peer & sailquay.spreading.Peer.$Shape} Peer
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.spreading.Peer & sailquay.spreading.Peer.$Shape;

            /**
             * Gets the type url for Peer
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace Peer {

            /** Properties of a Peer. */
            interface $Properties {

                /** Peer address */
                address?: (number|null);

                /** Peer port */
                port?: (number|null);

                /** Peer zone */
                zone?: (string|null);

                /** Peer ageMs */
                ageMs?: (number|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a Peer. */
            type $Shape = sailquay.spreading.Peer.$Properties;
        }

        /**
         * Properties of a Proof.
         * @deprecated Use sailquay.spreading.Proof.$Properties instead.
         */
        interface IProof extends sailquay.spreading.Proof.$Properties {
        }

        /** Represents a Proof. */
        class Proof {

            /**
             * Constructs a new Proof.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.spreading.Proof.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** Proof topic. */
            topic: sailquay.spreading.Topic;

            /** Proof revision. */
            revision: number;

            /** Proof changedRevision. */
            changedRevision: number;

            /** Proof ageMs. */
            ageMs: number;

            /** Proof epoch. */
            epoch: number;

            /**
             * Encodes the specified Proof message. Does not implicitly {@link sailquay.spreading.Proof.verify|verify} messages.
             * @param message Proof message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.spreading.Proof.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a Proof message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.spreading.Proof & sailquay.spreading.Proof.$Shape} Proof
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.spreading.Proof & sailquay.spreading.Proof.$Shape;

            /**
             * Gets the type url for Proof
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace Proof {

            /** Properties of a Proof. */
            interface $Properties {

                /** Proof topic */
                topic?: (sailquay.spreading.Topic|null);

                /** Proof revision */
                revision?: (number|null);

                /** Proof changedRevision */
                changedRevision?: (number|null);

                /** Proof ageMs */
                ageMs?: (number|null);

                /** Proof epoch */
                epoch?: (number|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a Proof. */
            type $Shape = sailquay.spreading.Proof.$Properties;
        }

        /**
         * Properties of a Reader.
         * @deprecated Use sailquay.spreading.Reader.$Properties instead.
         */
        interface IReader extends sailquay.spreading.Reader.$Properties {
        }

        /** Represents a Reader. */
        class Reader {

            /**
             * Constructs a new Reader.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.spreading.Reader.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** Reader id. */
            id: string;

            /** Reader ageMs. */
            ageMs: number;

            /**
             * Encodes the specified Reader message. Does not implicitly {@link sailquay.spreading.Reader.verify|verify} messages.
             * @param message Reader message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.spreading.Reader.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a Reader message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.spreading.Reader & sailquay.spreading.Reader.$Shape} Reader
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.spreading.Reader & sailquay.spreading.Reader.$Shape;

            /**
             * Gets the type url for Reader
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace Reader {

            /** Properties of a Reader. */
            interface $Properties {

                /** Reader id */
                id?: (string|null);

                /** Reader ageMs */
                ageMs?: (number|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a Reader. */
            type $Shape = sailquay.spreading.Reader.$Properties;
        }

        /**
         * Properties of a RouteTarget.
         * @deprecated Use sailquay.spreading.RouteTarget.$Properties instead.
         */
        interface IRouteTarget extends sailquay.spreading.RouteTarget.$Properties {
        }

        /** Represents a RouteTarget. */
        class RouteTarget {

            /**
             * Constructs a new RouteTarget.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.spreading.RouteTarget.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** RouteTarget service. */
            service: string;

            /** RouteTarget weight. */
            weight: number;

            /**
             * Encodes the specified RouteTarget message. Does not implicitly {@link sailquay.spreading.RouteTarget.verify|verify} messages.
             * @param message RouteTarget message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.spreading.RouteTarget.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a RouteTarget message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.spreading.RouteTarget & sailquay.spreading.RouteTarget.$Shape} RouteTarget
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.spreading.RouteTarget & sailquay.spreading.RouteTarget.$Shape;

            /**
             * Gets the type url for RouteTarget
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace RouteTarget {

            /** Properties of a RouteTarget. */
            interface $Properties {

                /** RouteTarget service */
                service?: (string|null);

                /** RouteTarget weight */
                weight?: (number|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a RouteTarget. */
            type $Shape = sailquay.spreading.RouteTarget.$Properties;
        }

        /**
         * Properties of a Route.
         * @deprecated Use sailquay.spreading.Route.$Properties instead.
         */
        interface IRoute extends sailquay.spreading.Route.$Properties {
        }

        /** Represents a Route. */
        class Route {

            /**
             * Constructs a new Route.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.spreading.Route.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** Route name. */
            name: string;

            /** Route address. */
            address: number;

            /** Route port. */
            port: number;

            /** Route targets. */
            targets: sailquay.spreading.RouteTarget.$Properties[];

            /** Route allowedRegions. */
            allowedRegions: string[];

            /** Route priority. */
            priority?: (number|null);

            /** Route targetLatencyMs. */
            targetLatencyMs: number;

            /**
             * Encodes the specified Route message. Does not implicitly {@link sailquay.spreading.Route.verify|verify} messages.
             * @param message Route message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.spreading.Route.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a Route message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.spreading.Route & sailquay.spreading.Route.$Shape} Route
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.spreading.Route & sailquay.spreading.Route.$Shape;

            /**
             * Gets the type url for Route
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace Route {

            /** Properties of a Route. */
            interface $Properties {

                /** Route name */
                name?: (string|null);

                /** Route address */
                address?: (number|null);

                /** Route port */
                port?: (number|null);

                /** Route targets */
                targets?: (sailquay.spreading.RouteTarget.$Properties[]|null);

                /** Route allowedRegions */
                allowedRegions?: (string[]|null);

                /** Route priority */
                priority?: (number|null);

                /** Route targetLatencyMs */
                targetLatencyMs?: (number|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a Route. */
            type $Shape = sailquay.spreading.Route.$Properties;
        }

        /**
         * Properties of a Service.
         * @deprecated Use sailquay.spreading.Service.$Properties instead.
         */
        interface IService extends sailquay.spreading.Service.$Properties {
        }

        /** Represents a Service. */
        class Service {

            /**
             * Constructs a new Service.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.spreading.Service.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** Service name. */
            name: string;

            /** Service maxConnections. */
            maxConnections: number;

            /** Service coldRequestsPerSecond. */
            coldRequestsPerSecond: number;

            /**
             * Encodes the specified Service message. Does not implicitly {@link sailquay.spreading.Service.verify|verify} messages.
             * @param message Service message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.spreading.Service.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a Service message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.spreading.Service & sailquay.spreading.Service.$Shape} Service
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.spreading.Service & sailquay.spreading.Service.$Shape;

            /**
             * Gets the type url for Service
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace Service {

            /** Properties of a Service. */
            interface $Properties {

                /** Service name */
                name?: (string|null);

                /** Service maxConnections */
                maxConnections?: (number|null);

                /** Service coldRequestsPerSecond */
                coldRequestsPerSecond?: (number|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a Service. */
            type $Shape = sailquay.spreading.Service.$Properties;
        }

        /**
         * Properties of a RouteTable.
         * @deprecated Use sailquay.spreading.RouteTable.$Properties instead.
         */
        interface IRouteTable extends sailquay.spreading.RouteTable.$Properties {
        }

        /** Represents a RouteTable. */
        class RouteTable {

            /**
             * Constructs a new RouteTable.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.spreading.RouteTable.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** RouteTable version. */
            version: number;

            /** RouteTable revision. */
            revision: number;

            /** RouteTable idleTimeoutMs. */
            idleTimeoutMs: number;

            /** RouteTable routes. */
            routes: sailquay.spreading.Route.$Properties[];

            /** RouteTable services. */
            services: sailquay.spreading.Service.$Properties[];

            /** RouteTable epoch. */
            epoch: number;

            /**
             * Encodes the specified RouteTable message. Does not implicitly {@link sailquay.spreading.RouteTable.verify|verify} messages.
             * @param message RouteTable message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.spreading.RouteTable.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a RouteTable message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.spreading.RouteTable & sailquay.spreading.RouteTable.$Shape} RouteTable
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.spreading.RouteTable & sailquay.spreading.RouteTable.$Shape;

            /**
             * Gets the type url for RouteTable
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace RouteTable {

            /** Properties of a RouteTable. */
            interface $Properties {

                /** RouteTable version */
                version?: (number|null);

                /** RouteTable revision */
                revision?: (number|null);

                /** RouteTable idleTimeoutMs */
                idleTimeoutMs?: (number|null);

                /** RouteTable routes */
                routes?: (sailquay.spreading.Route.$Properties[]|null);

                /** RouteTable services */
                services?: (sailquay.spreading.Service.$Properties[]|null);

                /** RouteTable epoch */
                epoch?: (number|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a RouteTable. */
            type $Shape = sailquay.spreading.RouteTable.$Properties;
        }

        /**
         * Properties of a RouteTableChange.
         * @deprecated Use sailquay.spreading.RouteTableChange.$Properties instead.
         */
        interface IRouteTableChange extends sailquay.spreading.RouteTableChange.$Properties {
        }

        /** Represents a RouteTableChange. */
        class RouteTableChange {

            /**
             * Constructs a new RouteTableChange.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.spreading.RouteTableChange.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** RouteTableChange version. */
            version: number;

            /** RouteTableChange revision. */
            revision: number;

            /** RouteTableChange idleTimeoutMs. */
            idleTimeoutMs: number;

            /** RouteTableChange routes. */
            routes: sailquay.spreading.Route.$Properties[];

            /** RouteTableChange removedRoutes. */
            removedRoutes: string[];

            /** RouteTableChange services. */
            services: sailquay.spreading.Service.$Properties[];

            /** RouteTableChange fromRevisions. */
            fromRevisions: number[];

            /** RouteTableChange digest. */
            digest: number;

            /** RouteTableChange requirementDigest. */
            requirementDigest?: (number|null);

            /**
             * Encodes the specified RouteTableChange message. Does not implicitly {@link sailquay.spreading.RouteTableChange.verify|verify} messages.
             * @param message RouteTableChange message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.spreading.RouteTableChange.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a RouteTableChange message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.spreading.RouteTableChange & sailquay.spreading.RouteTableChange.$Shape} RouteTableChange
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.spreading.RouteTableChange & sailquay.spreading.RouteTableChange.$Shape;

            /**
             * Gets the type url for RouteTableChange
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace RouteTableChange {

            /** Properties of a RouteTableChange. */
            interface $Properties {

                /** RouteTableChange version */
                version?: (number|null);

                /** RouteTableChange revision */
                revision?: (number|null);

                /** RouteTableChange idleTimeoutMs */
                idleTimeoutMs?: (number|null);

                /** RouteTableChange routes */
                routes?: (sailquay.spreading.Route.$Properties[]|null);

                /** RouteTableChange removedRoutes */
                removedRoutes?: (string[]|null);

                /** RouteTableChange services */
                services?: (sailquay.spreading.Service.$Properties[]|null);

                /** RouteTableChange fromRevisions */
                fromRevisions?: (number[]|null);

                /** RouteTableChange digest */
                digest?: (number|null);

                /** RouteTableChange requirementDigest */
                requirementDigest?: (number|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a RouteTableChange. */
            type $Shape = sailquay.spreading.RouteTableChange.$Properties;
        }

        /**
         * Properties of a Backend.
         * @deprecated Use sailquay.spreading.Backend.$Properties instead.
         */
        interface IBackend extends sailquay.spreading.Backend.$Properties {
        }

        /** Represents a Backend. */
        class Backend {

            /**
             * Constructs a new Backend.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.spreading.Backend.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** Backend id. */
            id: string;

            /** Backend service. */
            service: string;

            /** Backend address. */
            address: number;

            /** Backend port. */
            port: number;

            /** Backend zone. */
            zone: string;

            /** Backend capacity. */
            capacity: number;

            /** Backend draining. */
            draining: boolean;

            /** Backend coldMs. */
            coldMs: number;

            /** Backend createdRevision. */
            createdRevision: number;

            /** Backend revision. */
            revision: number;

            /** Backend departed. */
            departed: boolean;

            /** Backend departedAgeMs. */
            departedAgeMs: number;

            /** Backend incarnation. */
            incarnation?: (number|null);

            /** Backend lapsed. */
            lapsed: boolean;

            /**
             * Encodes the specified Backend message. Does not implicitly {@link sailquay.spreading.Backend.verify|verify} messages.
             * @param message Backend message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.spreading.Backend.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a Backend message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.spreading.Backend & sailquay.spreading.Backend.$Shape} Backend
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.spreading.Backend & sailquay.spreading.Backend.$Shape;

            /**
             * Gets the type url for Backend
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace Backend {

            /** Properties of a Backend. */
            interface $Properties {

                /** Backend id */
                id?: (string|null);

                /** Backend service */
                service?: (string|null);

                /** Backend address */
                address?: (number|null);

                /** Backend port */
                port?: (number|null);

                /** Backend zone */
                zone?: (string|null);

                /** Backend capacity */
                capacity?: (number|null);

                /** Backend draining */
                draining?: (boolean|null);

                /** Backend coldMs */
                coldMs?: (number|null);

                /** Backend createdRevision */
                createdRevision?: (number|null);

                /** Backend revision */
                revision?: (number|null);

                /** Backend departed */
                departed?: (boolean|null);

                /** Backend departedAgeMs */
                departedAgeMs?: (number|null);

                /** Backend incarnation */
                incarnation?: (number|null);

                /** Backend lapsed */
                lapsed?: (boolean|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a Backend. */
            type $Shape = sailquay.spreading.Backend.$Properties;
        }

        /**
         * Properties of a Removal.
         * @deprecated Use sailquay.spreading.Removal.$Properties instead.
         */
        interface IRemoval extends sailquay.spreading.Removal.$Properties {
        }

        /** Represents a Removal. */
        class Removal {

            /**
             * Constructs a new Removal.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.spreading.Removal.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** Removal id. */
            id: string;

            /** Removal revision. */
            revision: number;

            /**
             * Encodes the specified Removal message. Does not implicitly {@link sailquay.spreading.Removal.verify|verify} messages.
             * @param message Removal message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.spreading.Removal.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a Removal message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.spreading.Removal & sailquay.spreading.Removal.$Shape} Removal
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.spreading.Removal & sailquay.spreading.Removal.$Shape;

            /**
             * Gets the type url for Removal
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace Removal {

            /** Properties of a Removal. */
            interface $Properties {

                /** Removal id */
                id?: (string|null);

                /** Removal revision */
                revision?: (number|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a Removal. */
            type $Shape = sailquay.spreading.Removal.$Properties;
        }

        /**
         * Properties of a Cordon.
         * @deprecated Use sailquay.spreading.Cordon.$Properties instead.
         */
        interface ICordon extends sailquay.spreading.Cordon.$Properties {
        }

        /** Represents a Cordon. */
        class Cordon {

            /**
             * Constructs a new Cordon.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.spreading.Cordon.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** Cordon zone. */
            zone: string;

            /** Cordon revision. */
            revision: number;

            /**
             * Encodes the specified Cordon message. Does not implicitly {@link sailquay.spreading.Cordon.verify|verify} messages.
             * @param message Cordon message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.spreading.Cordon.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a Cordon message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.spreading.Cordon & sailquay.spreading.Cordon.$Shape} Cordon
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.spreading.Cordon & sailquay.spreading.Cordon.$Shape;

            /**
             * Gets the type url for Cordon
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace Cordon {

            /** Properties of a Cordon. */
            interface $Properties {

                /** Cordon zone */
                zone?: (string|null);

                /** Cordon revision */
                revision?: (number|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a Cordon. */
            type $Shape = sailquay.spreading.Cordon.$Properties;
        }

        /**
         * Properties of an Update.
         * @deprecated Use sailquay.spreading.Update.$Properties instead.
         */
        interface IUpdate extends sailquay.spreading.Update.$Properties {
        }

        /** Represents an Update. */
        class Update {

            /**
             * Constructs a new Update.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.spreading.Update.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** Update topic. */
            topic: sailquay.spreading.Topic;

            /** Update complete. */
            complete: boolean;

            /** Update since. */
            since: number;

            /** Update revision. */
            revision: number;

            /** Update routes. */
            routes?: (sailquay.spreading.RouteTable.$Properties|null);

            /** Update backends. */
            backends: sailquay.spreading.Backend.$Properties[];

            /** Update removals. */
            removals: sailquay.spreading.Removal.$Properties[];

            /** Update routeChange. */
            routeChange?: (sailquay.spreading.RouteTableChange.$Properties|null);

            /** Update cordons. */
            cordons: sailquay.spreading.Cordon.$Properties[];

            /** Update cordonRemovals. */
            cordonRemovals: sailquay.spreading.Cordon.$Properties[];

            /** Update epoch. */
            epoch: number;

            /**
             * Encodes the specified Update message. Does not implicitly {@link sailquay.spreading.Update.verify|verify} messages.
             * @param message Update message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.spreading.Update.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes an Update message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.spreading.Update & sailquay.spreading.Update.$Shape} Update
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.spreading.Update & sailquay.spreading.Update.$Shape;

            /**
             * Gets the type url for Update
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace Update {

            /** Properties of an Update. */
            interface $Properties {

                /** Update topic */
                topic?: (sailquay.spreading.Topic|null);

                /** Update complete */
                complete?: (boolean|null);

                /** Update since */
                since?: (number|null);

                /** Update revision */
                revision?: (number|null);

                /** Update routes */
                routes?: (sailquay.spreading.RouteTable.$Properties|null);

                /** Update backends */
                backends?: (sailquay.spreading.Backend.$Properties[]|null);

                /** Update removals */
                removals?: (sailquay.spreading.Removal.$Properties[]|null);

                /** Update routeChange */
                routeChange?: (sailquay.spreading.RouteTableChange.$Properties|null);

                /** Update cordons */
                cordons?: (sailquay.spreading.Cordon.$Properties[]|null);

                /** Update cordonRemovals */
                cordonRemovals?: (sailquay.spreading.Cordon.$Properties[]|null);

                /** Update epoch */
                epoch?: (number|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of an Update. */
            type $Shape = sailquay.spreading.Update.$Properties;
        }

        /**
         * Properties of a Suspicion.
         * @deprecated Use sailquay.spreading.Suspicion.$Properties instead.
         */
        interface ISuspicion extends sailquay.spreading.Suspicion.$Properties {
        }

        /** Represents a Suspicion. */
        class Suspicion {

            /**
             * Constructs a new Suspicion.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.spreading.Suspicion.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** Suspicion backendId. */
            backendId: string;

            /** Suspicion ageMs. */
            ageMs: number;

            /**
             * Encodes the specified Suspicion message. Does not implicitly {@link sailquay.spreading.Suspicion.verify|verify} messages.
             * @param message Suspicion message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.spreading.Suspicion.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a Suspicion message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.spreading.Suspicion & sailquay.spreading.Suspicion.$Shape} Suspicion
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.spreading.Suspicion & sailquay.spreading.Suspicion.$Shape;

            /**
             * Gets the type url for Suspicion
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace Suspicion {

            /** Properties of a Suspicion. */
            interface $Properties {

                /** Suspicion backendId */
                backendId?: (string|null);

                /** Suspicion ageMs */
                ageMs?: (number|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a Suspicion. */
            type $Shape = sailquay.spreading.Suspicion.$Properties;
        }

        /**
         * Properties of a BadAnswer.
         * @deprecated Use sailquay.spreading.BadAnswer.$Properties instead.
         */
        interface IBadAnswer extends sailquay.spreading.BadAnswer.$Properties {
        }

        /** Represents a BadAnswer. */
        class BadAnswer {

            /**
             * Constructs a new BadAnswer.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.spreading.BadAnswer.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** BadAnswer backendId. */
            backendId: string;

            /** BadAnswer observer. */
            observer: number;

            /** BadAnswer ageMs. */
            ageMs: number;

            /**
             * Encodes the specified BadAnswer message. Does not implicitly {@link sailquay.spreading.BadAnswer.verify|verify} messages.
             * @param message BadAnswer message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.spreading.BadAnswer.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a BadAnswer message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.spreading.BadAnswer & sailquay.spreading.BadAnswer.$Shape} BadAnswer
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.spreading.BadAnswer & sailquay.spreading.BadAnswer.$Shape;

            /**
             * Gets the type url for BadAnswer
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace BadAnswer {

            /** Properties of a BadAnswer. */
            interface $Properties {

                /** BadAnswer backendId */
                backendId?: (string|null);

                /** BadAnswer observer */
                observer?: (number|null);

                /** BadAnswer ageMs */
                ageMs?: (number|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a BadAnswer. */
            type $Shape = sailquay.spreading.BadAnswer.$Properties;
        }

        /**
         * Properties of a LoadReport.
         * @deprecated Use sailquay.spreading.LoadReport.$Properties instead.
         */
        interface ILoadReport extends sailquay.spreading.LoadReport.$Properties {
        }

        /** Represents a LoadReport. */
        class LoadReport {

            /**
             * Constructs a new LoadReport.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.spreading.LoadReport.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** LoadReport page. */
            page: number;

            /** LoadReport ageMs. */
            ageMs: number;

            /** LoadReport validMs. */
            validMs: number;

            /** LoadReport tags. */
            tags: number[];

            /** LoadReport sixteenths. */
            sixteenths: number[];

            /**
             * Encodes the specified LoadReport message. Does not implicitly {@link sailquay.spreading.LoadReport.verify|verify} messages.
             * @param message LoadReport message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.spreading.LoadReport.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a LoadReport message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.spreading.LoadReport & sailquay.spreading.LoadReport.$Shape} LoadReport
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.spreading.LoadReport & sailquay.spreading.LoadReport.$Shape;

            /**
             * Gets the type url for LoadReport
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace LoadReport {

            /** Properties of a LoadReport. */
            interface $Properties {

                /** LoadReport page */
                page?: (number|null);

                /** LoadReport ageMs */
                ageMs?: (number|null);

                /** LoadReport validMs */
                validMs?: (number|null);

                /** LoadReport tags */
                tags?: (number[]|null);

                /** LoadReport sixteenths */
                sixteenths?: (number[]|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a LoadReport. */
            type $Shape = sailquay.spreading.LoadReport.$Properties;
        }

        /**
         * Properties of an OpeningQuery.
         * @deprecated Use sailquay.spreading.OpeningQuery.$Properties instead.
         */
        interface IOpeningQuery extends sailquay.spreading.OpeningQuery.$Properties {
        }

        /** Represents an OpeningQuery. */
        class OpeningQuery {

            /**
             * Constructs a new OpeningQuery.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.spreading.OpeningQuery.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** OpeningQuery sourceAddress. */
            sourceAddress: number;

            /** OpeningQuery sourcePort. */
            sourcePort: number;

            /** OpeningQuery destinationAddress. */
            destinationAddress: number;

            /** OpeningQuery destinationPort. */
            destinationPort: number;

            /** OpeningQuery retransmissionCount. */
            retransmissionCount: number;

            /** OpeningQuery acknowledgement. */
            acknowledgement: number;

            /**
             * Encodes the specified OpeningQuery message. Does not implicitly {@link sailquay.spreading.OpeningQuery.verify|verify} messages.
             * @param message OpeningQuery message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.spreading.OpeningQuery.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes an OpeningQuery message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.spreading.OpeningQuery & sailquay.spreading.OpeningQuery.$Shape} OpeningQuery
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.spreading.OpeningQuery & sailquay.spreading.OpeningQuery.$Shape;

            /**
             * Gets the type url for OpeningQuery
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace OpeningQuery {

            /** Properties of an OpeningQuery. */
            interface $Properties {

                /** OpeningQuery sourceAddress */
                sourceAddress?: (number|null);

                /** OpeningQuery sourcePort */
                sourcePort?: (number|null);

                /** OpeningQuery destinationAddress */
                destinationAddress?: (number|null);

                /** OpeningQuery destinationPort */
                destinationPort?: (number|null);

                /** OpeningQuery retransmissionCount */
                retransmissionCount?: (number|null);

                /** OpeningQuery acknowledgement */
                acknowledgement?: (number|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of an OpeningQuery. */
            type $Shape = sailquay.spreading.OpeningQuery.$Properties;
        }

        /**
         * Properties of an OpeningAnswer.
         * @deprecated Use sailquay.spreading.OpeningAnswer.$Properties instead.
         */
        interface IOpeningAnswer extends sailquay.spreading.OpeningAnswer.$Properties {
        }

        /** Represents an OpeningAnswer. */
        class OpeningAnswer {

            /**
             * Constructs a new OpeningAnswer.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.spreading.OpeningAnswer.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** OpeningAnswer sourceAddress. */
            sourceAddress: number;

            /** OpeningAnswer sourcePort. */
            sourcePort: number;

            /** OpeningAnswer destinationAddress. */
            destinationAddress: number;

            /** OpeningAnswer destinationPort. */
            destinationPort: number;

            /** OpeningAnswer backendId. */
            backendId: string;

            /** OpeningAnswer acknowledgement. */
            acknowledgement: number;

            /**
             * Encodes the specified OpeningAnswer message. Does not implicitly {@link sailquay.spreading.OpeningAnswer.verify|verify} messages.
             * @param message OpeningAnswer message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.spreading.OpeningAnswer.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes an OpeningAnswer message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.spreading.OpeningAnswer & sailquay.spreading.OpeningAnswer.$Shape} OpeningAnswer
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.spreading.OpeningAnswer & sailquay.spreading.OpeningAnswer.$Shape;

            /**
             * Gets the type url for OpeningAnswer
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace OpeningAnswer {

            /** Properties of an OpeningAnswer. */
            interface $Properties {

                /** OpeningAnswer sourceAddress */
                sourceAddress?: (number|null);

                /** OpeningAnswer sourcePort */
                sourcePort?: (number|null);

                /** OpeningAnswer destinationAddress */
                destinationAddress?: (number|null);

                /** OpeningAnswer destinationPort */
                destinationPort?: (number|null);

                /** OpeningAnswer backendId */
                backendId?: (string|null);

                /** OpeningAnswer acknowledgement */
                acknowledgement?: (number|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of an OpeningAnswer. */
            type $Shape = sailquay.spreading.OpeningAnswer.$Properties;
        }

        /**
         * Properties of a PeerMessage.
         * @deprecated Use sailquay.spreading.PeerMessage.$Properties instead.
         */
        interface IPeerMessage extends sailquay.spreading.PeerMessage.$Properties {
        }

        /** Represents a PeerMessage. */
        class PeerMessage {

            /**
             * Constructs a new PeerMessage.
             * @param [properties] Properties to set
             */
            constructor(properties?: sailquay.spreading.PeerMessage.$Properties);

            /** Unknown fields preserved while decoding when enabled */
            $unknowns?: Uint8Array[];

            /** PeerMessage type. */
            type: sailquay.spreading.MessageType;

            /** PeerMessage senderId. */
            senderId: string;

            /** PeerMessage senderZone. */
            senderZone: string;

            /** PeerMessage leaving. */
            leaving: boolean;

            /** PeerMessage proofs. */
            proofs: sailquay.spreading.Proof.$Properties[];

            /** PeerMessage readers. */
            readers: sailquay.spreading.Reader.$Properties[];

            /** PeerMessage peers. */
            peers: sailquay.spreading.Peer.$Properties[];

            /** PeerMessage updates. */
            updates: sailquay.spreading.Update.$Properties[];

            /** PeerMessage suspicions. */
            suspicions: sailquay.spreading.Suspicion.$Properties[];

            /** PeerMessage departedCount. */
            departedCount: number;

            /** PeerMessage loads. */
            loads: sailquay.spreading.LoadReport.$Properties[];

            /** PeerMessage badAnswers. */
            badAnswers: sailquay.spreading.BadAnswer.$Properties[];

            /** PeerMessage tableRevision. */
            tableRevision: number;

            /** PeerMessage openingQueries. */
            openingQueries: sailquay.spreading.OpeningQuery.$Properties[];

            /** PeerMessage openingAnswers. */
            openingAnswers: sailquay.spreading.OpeningAnswer.$Properties[];

            /** PeerMessage unsettled. */
            unsettled: boolean;

            /**
             * Encodes the specified PeerMessage message. Does not implicitly {@link sailquay.spreading.PeerMessage.verify|verify} messages.
             * @param message PeerMessage message or plain object to encode
             * @param [writer] Writer to encode to
             * @returns Writer
             */
            static encode(message: sailquay.spreading.PeerMessage.$Properties, writer?: $protobuf.Writer): $protobuf.Writer;

            /**
             * Decodes a PeerMessage message from the specified reader or buffer.
             * @param reader Reader or buffer to decode from
             * @param [length] Message length if known beforehand
             * @returns {sailquay.spreading.PeerMessage & sailquay.spreading.PeerMessage.$Shape} PeerMessage
             * @throws {Error} If the payload is not a reader or valid buffer
             * @throws {$protobuf.util.ProtocolError} If required fields are missing
             */
            static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): sailquay.spreading.PeerMessage & sailquay.spreading.PeerMessage.$Shape;

            /**
             * Gets the type url for PeerMessage
             * @param [prefix] Custom type url prefix, defaults to `"type.googleapis.com"`
             * @returns The type url
             */
            static getTypeUrl(prefix?: string): string;
        }

        namespace PeerMessage {

            /** Properties of a PeerMessage. */
            interface $Properties {

                /** PeerMessage type */
                type?: (sailquay.spreading.MessageType|null);

                /** PeerMessage senderId */
                senderId?: (string|null);

                /** PeerMessage senderZone */
                senderZone?: (string|null);

                /** PeerMessage leaving */
                leaving?: (boolean|null);

                /** PeerMessage proofs */
                proofs?: (sailquay.spreading.Proof.$Properties[]|null);

                /** PeerMessage readers */
                readers?: (sailquay.spreading.Reader.$Properties[]|null);

                /** PeerMessage peers */
                peers?: (sailquay.spreading.Peer.$Properties[]|null);

                /** PeerMessage updates */
                updates?: (sailquay.spreading.Update.$Properties[]|null);

                /** PeerMessage suspicions */
                suspicions?: (sailquay.spreading.Suspicion.$Properties[]|null);

                /** PeerMessage departedCount */
                departedCount?: (number|null);

                /** PeerMessage loads */
                loads?: (sailquay.spreading.LoadReport.$Properties[]|null);

                /** PeerMessage badAnswers */
                badAnswers?: (sailquay.spreading.BadAnswer.$Properties[]|null);

                /** PeerMessage tableRevision */
                tableRevision?: (number|null);

                /** PeerMessage openingQueries */
                openingQueries?: (sailquay.spreading.OpeningQuery.$Properties[]|null);

                /** PeerMessage openingAnswers */
                openingAnswers?: (sailquay.spreading.OpeningAnswer.$Properties[]|null);

                /** PeerMessage unsettled */
                unsettled?: (boolean|null);

                /** Unknown fields preserved while decoding when enabled */
                $unknowns?: Uint8Array[];
            }

            /** Shape of a PeerMessage. */
            type $Shape = sailquay.spreading.PeerMessage.$Properties;
        }
    }
}
